package ironwind.cli;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import ironwind.config.OperatorSettings.LogFormat;
import ironwind.net.Log;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * Writes log lines to standard error through SLF4J and Logback, together with those of libraries
 * that use SLF4J.
 */
final class LogbackSink implements Log.Sink {
    private static final String PAIRS_PATTERN =
            "%d{\"yyyy-MM-dd'T'HH:mm:ss.SSS'Z'\", UTC} %level %msg %kvp{DOUBLE}%n";

    private final org.slf4j.Logger logger;

    LogbackSink(LogFormat format) {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.reset();
        ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
        appender.setContext(context);
        appender.setTarget("System.err");
        appender.setEncoder(encoder(format, context));
        appender.start();
        Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.addAppender(appender);
        root.setLevel(Level.INFO);
        logger = context.getLogger("ironwind");
    }

    private static Encoder<ILoggingEvent> encoder(LogFormat format, LoggerContext context) {
        if (format == LogFormat.JSON) {
            JsonEncoder jsonEncoder = new JsonEncoder();
            jsonEncoder.setContext(context);
            jsonEncoder.start();
            return jsonEncoder;
        }
        PatternLayoutEncoder pairsEncoder = new PatternLayoutEncoder();
        pairsEncoder.setContext(context);
        pairsEncoder.setPattern(PAIRS_PATTERN);
        pairsEncoder.start();
        return pairsEncoder;
    }

    @Override
    public void write(Log.Level level, String event, Object... pairs) {
        LoggingEventBuilder entry =
                switch (level) {
                    case INFO -> logger.atInfo();
                    case WARN -> logger.atWarn();
                    case ERROR -> logger.atError();
                };
        for (int i = 0; i + 1 < pairs.length; i += 2) {
            entry = entry.addKeyValue(pairs[i].toString(), String.valueOf(pairs[i + 1]));
        }
        entry.log(event);
    }
}
