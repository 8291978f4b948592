package rig;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** Small helpers for sockets and threads. */
final class Sockets {
    private Sockets() {}

    /** Something that ends with an exception when its socket is closed. */
    interface Task {
        void run() throws IOException;
    }

    /** Runs a task on a new thread that doesn't keep the process alive. */
    static void daemon(String name, Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException closed) {
                // The other side is gone, or this side has closed the socket.
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(Math.max(0, ms));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Closes a socket so that the other side sees a reset. */
    static void reset(Socket socket) throws IOException {
        if (!socket.isClosed()) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }
}
