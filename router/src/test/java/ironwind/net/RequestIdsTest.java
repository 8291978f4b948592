package ironwind.net;

import static org.assertj.core.api.Assertions.assertThat;

import ironwind.pg.Statement;
import org.junit.jupiter.api.Test;

class RequestIdsTest {
    private final RequestIds ids = new RequestIds();

    private static Exchange exchange(String id) {
        return new Exchange(Statement.parse("/* id=" + id + " */ SELECT 1"), exchange -> {});
    }

    private void run(Exchange exchange, boolean remember) {
        ids.begin(exchange);
        ids.end(exchange, remember);
    }

    /** Guards against ids that are kept without end when clients send ever new ones. */
    @Test
    void onlyTheLatestWritesAreRemembered() {
        for (int i = 0; i < RequestIds.MAX_REMEMBERED + 1; i++) {
            run(exchange("w" + i), true);
            run(exchange("r" + i), false);
        }
        assertThat(ids.openCount()).isZero();
        assertThat(ids.isRemembered("w0")).isFalse();
        assertThat(ids.isRemembered("w1")).isTrue();
        assertThat(ids.isRemembered("w" + RequestIds.MAX_REMEMBERED)).isTrue();
        assertThat(ids.isRemembered("r5")).isFalse();
    }

    @Test
    void endCountsOnce() {
        Exchange write = exchange("w");
        run(write, false);
        ids.end(write, true);
        assertThat(ids.isRemembered("w")).isFalse();
        run(write, true);
        ids.forget("w");
        assertThat(ids.isRemembered("w")).isFalse();
    }
}
