package ironwind.net;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** The names that {@code SHOW stats} and the log print, which operators' tools match. */
class CountersTest {
    private final Counters counters = new Counters();

    @Test
    void allCountsArePrintedUnderTheirExternalNames() {
        assertThat(counters.toString())
                .isEqualTo(
                        "clients=0 rpcs=0 ok=0 pushed_back=0 aborted=0 left=0 malformed=0"
                                + " call_outs=0 probes=0 host_connections=0 lists=0 faults=0");
    }

    @Test
    void allEndingsArePrintedUnderTheirExternalNames() {
        for (Ending ending : Ending.values()) {
            counters.add(ending);
        }
        assertThat(counters.read().keySet())
                .containsExactly(
                        "clients",
                        "rpcs",
                        "ok",
                        "pushed_back",
                        "aborted",
                        "left",
                        "malformed",
                        "call_outs",
                        "probes",
                        "host_connections",
                        "lists",
                        "faults",
                        "ended_served",
                        "ended_missed",
                        "ended_failed",
                        "ended_turned_away",
                        "ended_refused",
                        "ended_never_up",
                        "ended_no_socket",
                        "ended_broke_unwritten",
                        "ended_broke_written",
                        "ended_garbled",
                        "ended_timed_out",
                        "ended_called_off",
                        "ended_lapsed",
                        "ended_idle_closed",
                        "ended_closed_by_host",
                        "ended_surplus",
                        "ended_client_left",
                        "ended_client_dismissed",
                        "ended_client_malformed");
    }

    /** An ending that has not occurred is left out; each count and ending has its own number. */
    @Test
    void eachCountAndEndingIsCountedByItself() {
        counters.add(Counters.Count.ABANDONED);
        counters.add(Counters.Count.DISCOVERY_UPDATES);
        counters.add(Counters.Count.DISCOVERY_UPDATES);
        counters.add(Ending.INELIGIBLE);
        counters.add(Ending.INELIGIBLE);
        counters.add(Ending.INELIGIBLE);
        assertThat(counters.toString())
                .isEqualTo(
                        "clients=0 rpcs=0 ok=0 pushed_back=0 aborted=0 left=1 malformed=0"
                                + " call_outs=0 probes=0 host_connections=0 lists=2 faults=0"
                                + " ended_missed=3");
    }
}
