package ironwind.net;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import ironwind.model.Customer;
import ironwind.model.Effect;
import ironwind.model.Method;
import ironwind.model.Moment;
import ironwind.model.Span;
import ironwind.net.Counters.Count;
import ironwind.pg.Encoder;
import ironwind.pg.PgFault;
import ironwind.pg.Row;
import ironwind.pg.Statement;
import ironwind.start.Address;
import ironwind.start.Names;
import ironwind.start.StartFacts;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** All connections of clients: what comes in on them becomes RPCs. */
final class Clients {
    /** In milliseconds, as far as times can be reckoned with. */
    private static final long LONGEST_MS = Long.MAX_VALUE / 1_000_000;
    private static final String SHOW_COUNTERS = "SHOW stats";

    /** LATER: a connection without an open request may be closed after 2 s, and what is malformed within 3 s. */
    private static final Span PATIENCE = Span.ofMillis(2_000);
    private static final long SWEEP_EVERY_MS = 250;
    private static final Comparator<ClientConnection> LEAST_KNOWN =
            Comparator.comparing(ClientConnection::standing).thenComparing(ClientConnection::since);
    /** The settings tell how long clients wait; what is this many times as long is no such time. */
    private static final double MOST_DEADLINES = 4;

    private final Timers timers;
    private final NetServer server;
    private final StartFacts facts;
    private final int most;
    private final LogicTask logic;
    private final Counters counters;
    private final Log log;
    private final Set<ClientConnection> open = new LinkedHashSet<>();
    /** Empty queries that wait until the router is ready. */
    private final List<Exchange> askedWhetherReady = new ArrayList<>();
    private Rehearsal rehearsal;
    private boolean ready;
    private boolean dismissing;
    private Runnable whenGone = () -> { };

    Clients(Vertx vertx, StartFacts facts, int most, LogicTask logic, Counters counters, Log log) {
        this.server = vertx.createNetServer(new NetServerOptions().setTcpNoDelay(true));
        this.timers = new Timers(vertx);
        this.facts = facts;
        this.most = most;
        this.logic = logic;
        this.counters = counters;
        this.log = log;
        server.connectHandler(this::connected);
        vertx.setPeriodic(SWEEP_EVERY_MS, timer -> sweep());
    }

    Future<NetServer> listen() {
        return server.listen(facts.listen().port(), facts.listen().ip());
    }

    int port() {
        return server.actualPort();
    }

    /** Until the router is ready, and a little longer for what is on its way, it is its rehearsal's host, too. */
    void rehearse(Rehearsal rehearsed) {
        rehearsal = rehearsed;
        rehearsed.start(new Address(facts.listen().ip(), port()));
    }

    /** From now on empty queries are answered: the front may send clients. */
    void ready() {
        ready = true;
        timers.after(PATIENCE, () -> rehearsal = null);
        askedWhetherReady.forEach(exchange -> exchange.answer(Encoder.emptyQuery()));
        askedWhetherReady.clear();
    }

    private void connected(NetSocket socket) {
        counters.add(Count.CLIENTS);
        if (open.size() >= most) {
            makeRoom();
        }
        ClientConnection client = new ClientConnection(socket, this);
        open.add(client);
        if (dismissing) {
            client.dismiss();
        }
    }

    /** The least known connection that carries nothing gives way, among equals the one that has waited longest. */
    private void makeRoom() {
        ClientConnection least = null;
        for (ClientConnection client : open) {
            if (client.standing() != null && (least == null || LEAST_KNOWN.compare(client, least) < 0)) {
                least = client;
            }
        }
        if (least == null) {
            log.warn("clients_full", "open", open.size());
        } else {
            least.giveWay();
        }
    }

    /** Ends what is not worth its descriptor any longer. */
    private void sweep() {
        Moment before = Clock.read().minus(PATIENCE);
        for (ClientConnection client : new ArrayList<>(open)) {
            if (client.since().before(before)) {
                if (client.isHalfway()) {
                    client.fail(new PgFault(PgFault.TOO_SLOW, "waited too long for the rest of a message"));
                } else if (client.standing() == ClientConnection.Standing.GREETED
                        || client.standing() == ClientConnection.Standing.SERVED && 2 * open.size() > most) {
                    client.giveWay();
                }
            }
        }
    }

    void later(Span span, Runnable action) {
        timers.after(span, action);
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
        byte[] rehearsed = rehearsal == null ? null : rehearsal.answerTo(statement);
        if (rehearsed != null) {
            client.add(statement).answer(rehearsed);
            return;
        }
        Names names = facts.names();
        Method method = known(names.methods().get(statement.need("c")), "c");
        Customer customer = names.customers().isEmpty() ? null
                : known(names.customers().get(statement.need("t")), "t");
        Span waits = Span.ofMillis(statement.needWhole("d", 1, LONGEST_MS));
        if (waits.longerThan(method.deadline().times(MOST_DEADLINES))) {
            throw new PgFault(PgFault.SYNTAX, "the comment's d is far beyond its method's deadline: " + waits.us());
        }
        if (method.effect() == Effect.TOKENED) {
            statement.need("k");
        }
        long after = statement.facts().containsKey("after") ? statement.needWhole("after", 0, LONGEST_MS) : 0;
        LogicTask.Asked asked = new LogicTask.Asked(statement.need("id"), method, customer,
                (int) statement.needWhole("cluster", 0, Integer.MAX_VALUE), statement.key(), waits, after,
                "1".equals(statement.facts().get("r")));
        logic.check(asked);
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
