package ironwind.net;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import ironwind.model.Customer;
import ironwind.model.Method;
import ironwind.net.Counters.Count;
import ironwind.pg.Encoder;
import ironwind.pg.PgFault;
import ironwind.pg.Row;
import ironwind.pg.Statement;
import ironwind.start.Names;
import ironwind.start.StartFacts;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** All connections of clients: what comes in on them becomes RPCs. */
final class Clients {
    private static final String SHOW_COUNTERS = "SHOW stats";

    private final NetServer server;
    private final StartFacts facts;
    private final int most;
    private final LogicTask logic;
    private final Counters counters;
    private final Log log;
    private final Set<ClientConnection> open = new LinkedHashSet<>();
    /** Empty queries that wait until the router is ready. */
    private final List<Exchange> askedWhetherReady = new ArrayList<>();
    private boolean ready;
    private boolean dismissing;
    private Runnable whenGone = () -> { };

    Clients(Vertx vertx, StartFacts facts, int most, LogicTask logic, Counters counters, Log log) {
        this.server = vertx.createNetServer(new NetServerOptions().setTcpNoDelay(true));
        this.facts = facts;
        this.most = most;
        this.logic = logic;
        this.counters = counters;
        this.log = log;
        server.connectHandler(this::connected);
    }

    Future<NetServer> listen() {
        return server.listen(facts.listen().port(), facts.listen().ip());
    }

    int port() {
        return server.actualPort();
    }

    /** From now on empty queries are answered: the front may send clients. */
    void ready() {
        ready = true;
        askedWhetherReady.forEach(exchange -> exchange.answer(Encoder.emptyQuery()));
        askedWhetherReady.clear();
    }

    private void connected(NetSocket socket) {
        counters.add(Count.CLIENTS);
        if (open.size() >= most && !dismissOne()) {
            log.warn("client_refused", "open", open.size());
            counters.add(Ending.CLIENT_REFUSED);
            socket.close();
            return;
        }
        ClientConnection client = new ClientConnection(socket, this);
        open.add(client);
        if (dismissing) {
            client.dismiss();
        }
    }

    /** Makes room by closing the oldest connection that carries nothing. */
    private boolean dismissOne() {
        for (ClientConnection client : open) {
            if (client.isIdle()) {
                client.dismiss();
                return true;
            }
        }
        return false;
    }

    /** Takes one command; a {@link PgFault} tells what is wrong with it. */
    void command(ClientConnection client, String sql) {
        Statement statement = Statement.parse(sql);
        if (!statement.facts().isEmpty()) {
            rpc(client, statement);
        } else if (statement.text().isEmpty()) {
            Exchange exchange = client.add(null);
            if (ready) {
                exchange.answer(Encoder.emptyQuery());
            } else {
                askedWhetherReady.add(exchange);
            }
        } else if (statement.text().replace(";", "").strip().equalsIgnoreCase(SHOW_COUNTERS)) {
            client.add(null).answer(Encoder.row(Row.ofText("stats", counters.toString())));
        } else {
            throw new PgFault(PgFault.UNSUPPORTED, "a statement must say what it is in a comment before it");
        }
    }

    private void rpc(ClientConnection client, Statement statement) {
        Names names = facts.names();
        Method method = known(names.methods().get(statement.need("c")), "c");
        Customer customer = names.customers().isEmpty() ? null
                : known(names.customers().get(statement.need("t")), "t");
        LogicTask.Asked asked = new LogicTask.Asked(statement.need("id"), method, customer,
                (int) statement.needWhole("cluster"), statement.key(), statement.needWhole("d"),
                statement.facts().containsKey("after") ? statement.needWhole("after") : 0,
                "1".equals(statement.facts().get("r")));
        logic.arrived(client.add(statement), asked);
    }

    private static <T> T known(T value, String fact) {
        if (value == null) {
            throw new PgFault(PgFault.SYNTAX, "the comment's " + fact + " names nothing known");
        }
        return value;
    }

    void malformed(PgFault fault) {
        counters.add(Count.MALFORMED);
        log.warn("client_malformed", "code", fault.code, "what", fault.getMessage());
    }

    void ended(ClientConnection client, Ending ending, Iterable<Exchange> unanswered) {
        counters.add(ending);
        open.remove(client);
        unanswered.forEach(logic::left);
        if (dismissing && open.isEmpty()) {
            whenGone.run();
        }
    }

    /** Asks all clients away between their requests; runs the action once none is left. */
    void dismissAll(Runnable gone) {
        dismissing = true;
        whenGone = gone;
        new ArrayList<>(open).forEach(ClientConnection::dismiss);
        if (open.isEmpty()) {
            whenGone.run();
        }
    }
}
