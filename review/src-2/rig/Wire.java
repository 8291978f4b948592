package rig;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** The part of PostgreSQL's protocol, version 3, that the protocol page uses. */
final class Wire {
    private static final int PROTOCOL_VERSION = 3 << 16;

    private Wire() {}

    /** One message; the type of a startup message is 0. */
    record Message(char type, byte[] body) {
        /** Returns the body as text up to the first zero byte. */
        String text() {
            String all = new String(body, StandardCharsets.ISO_8859_1);
            int end = all.indexOf(0);
            return end < 0 ? all : all.substring(0, end);
        }

        /** Returns a field of an ErrorResponse; empty if it is missing. */
        String errorField(char field) {
            for (String part : new String(body, StandardCharsets.ISO_8859_1).split("\0")) {
                if (!part.isEmpty() && part.charAt(0) == field) {
                    return part.substring(1);
                }
            }
            return "";
        }

        /** Returns the value of a DataRow with one column. */
        byte[] value() {
            byte[] value = new byte[body.length - 6];
            System.arraycopy(body, 6, value, 0, value.length);
            return value;
        }
    }

    /** Reads a message with a type byte; returns null at the end of the stream. */
    static Message read(DataInputStream in) throws IOException {
        int type = in.read();
        return type < 0 ? null : new Message((char) type, readBody(in));
    }

    /** Reads a startup message. */
    static Message readStartup(DataInputStream in) throws IOException {
        return new Message((char) 0, readBody(in));
    }

    private static byte[] readBody(DataInputStream in) throws IOException {
        int length = in.readInt() - 4;
        if (length < 0 || length > 1 << 24) {
            throw new EOFException("a message of " + length + " bytes");
        }
        byte[] body = new byte[length];
        in.readFully(body);
        return body;
    }

    static byte[] startup() {
        return message(0, out -> {
            out.writeInt(PROTOCOL_VERSION);
            text(out, "user");
            text(out, "client");
            text(out, "database");
            text(out, "core");
            out.writeByte(0);
        });
    }

    static byte[] query(String sql) {
        return message('Q', out -> text(out, sql));
    }

    static byte[] authenticationOk() {
        return message('R', out -> out.writeInt(0));
    }

    static byte[] readyForQuery() {
        return message('Z', out -> out.writeByte('I'));
    }

    static byte[] emptyQueryResponse() {
        return message('I', out -> {});
    }

    static byte[] parameter(String name, String value) {
        return message('S', out -> {
            text(out, name);
            text(out, value);
        });
    }

    static byte[] row(byte[] value, String tag) {
        return join(
                message('T', out -> {
                    out.writeShort(1);
                    text(out, "val");
                    out.writeInt(0);
                    out.writeShort(0);
                    out.writeInt(17);
                    out.writeShort(-1);
                    out.writeInt(-1);
                    out.writeShort(1);
                }),
                message('D', out -> {
                    out.writeShort(1);
                    out.writeInt(value.length);
                    out.write(value);
                }),
                message('C', out -> text(out, tag)));
    }

    static byte[] error(String sqlState, String message) {
        return message('E', out -> {
            text(out, "SERROR");
            text(out, "C" + sqlState);
            text(out, "M" + message);
            out.writeByte(0);
        });
    }

    static byte[] join(byte[]... parts) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (byte[] part : parts) {
            all.writeBytes(part);
        }
        return all.toByteArray();
    }

    /** Returns the names and values in a statement's comment; empty if it has none. */
    static Map<String, String> comment(String sql) {
        Map<String, String> values = new LinkedHashMap<>();
        int end = sql.indexOf("*/");
        if (sql.startsWith("/*") && end > 0) {
            for (String pair : sql.substring(2, end).strip().split(",")) {
                int equals = pair.indexOf('=');
                values.put(pair.substring(0, Math.max(0, equals)), pair.substring(equals + 1));
            }
        }
        return values;
    }

    /** Returns the first quoted literal of a statement; empty if there is none. */
    static String key(String sql) {
        String[] parts = sql.split("'");
        return parts.length > 1 ? parts[1] : "";
    }

    private interface Body {
        void write(DataOutputStream out) throws IOException;
    }

    private static byte[] message(int type, Body content) {
        try {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            content.write(new DataOutputStream(body));
            ByteArrayOutputStream whole = new ByteArrayOutputStream();
            DataOutputStream out = new DataOutputStream(whole);
            if (type != 0) {
                out.writeByte(type);
            }
            out.writeInt(body.size() + 4);
            body.writeTo(out);
            return whole.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void text(DataOutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.writeByte(0);
    }
}
