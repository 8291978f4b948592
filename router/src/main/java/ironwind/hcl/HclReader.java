package ironwind.hcl;

import ironwind.hcl.Block.Attribute;
import java.io.IOException;
import java.math.BigDecimal;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.antlr.v4.runtime.BaseErrorListener;
import org.antlr.v4.runtime.CharStreams;
import org.antlr.v4.runtime.CommonTokenStream;
import org.antlr.v4.runtime.RecognitionException;
import org.antlr.v4.runtime.Recognizer;

/** Parses HCL files into blocks. */
public final class HclReader {
    private HclReader() {}

    /**
     * Reads and parses a file.
     *
     * @param diagnostics receives the problems found
     * @throws HclException if the file cannot be read or has a syntax error
     */
    public static Block read(Path file, Diagnostics diagnostics) {
        String text;
        try {
            text = Files.readString(file);
        } catch (IOException e) {
            throw new HclException(List.of(file + " cannot be read: " + e));
        }
        return parse(text, diagnostics);
    }

    /**
     * Parses a text. Two items on one line are reported to the diagnostics without an exception.
     *
     * @param diagnostics receives the problems found
     * @throws HclException if the text has a syntax error, or if {@code diagnostics} was not empty
     */
    public static Block parse(String text, Diagnostics diagnostics) {
        BaseErrorListener listener =
                new BaseErrorListener() {
                    @Override
                    public void syntaxError(
                            Recognizer<?, ?> recognizer,
                            Object symbol,
                            int line,
                            int column,
                            String message,
                            RecognitionException cause) {
                        diagnostics.add(
                                line, "syntax error at column " + (column + 1) + ": " + message);
                    }
                };
        HclLexer lexer = new HclLexer(CharStreams.fromString(text));
        lexer.removeErrorListeners();
        lexer.addErrorListener(listener);
        HclParser parser = new HclParser(new CommonTokenStream(lexer));
        parser.removeErrorListeners();
        parser.addErrorListener(listener);
        HclParser.FileContext file = parser.file();
        // After a syntax error the parse tree is incomplete and cannot be converted.
        diagnostics.throwIfAny();
        return toBlock("", List.of(), 1, file.item(), diagnostics);
    }

    private static Block toBlock(
            String name,
            List<String> labels,
            int line,
            List<HclParser.ItemContext> items,
            Diagnostics diagnostics) {
        List<Attribute> attributes = new ArrayList<>();
        List<Block> blocks = new ArrayList<>();
        int previousEndLine = 0;
        for (HclParser.ItemContext item : items) {
            if (item.getStart().getLine() == previousEndLine) {
                diagnostics.add(previousEndLine, "an attribute or block must start on a new line");
            }
            previousEndLine = item.getStop().getLine();
            if (item.attribute() != null) {
                HclParser.AttributeContext attribute = item.attribute();
                attributes.add(
                        new Attribute(
                                attribute.NAME().getText(),
                                toValue(attribute.value()),
                                attribute.getStart().getLine()));
            } else {
                HclParser.BlockContext inner = item.block();
                List<String> blockLabels =
                        inner.label().stream()
                                .map(
                                        label ->
                                                label.STRING() == null
                                                        ? label.getText()
                                                        : unquote(label.getText()))
                                .toList();
                blocks.add(
                        toBlock(
                                inner.NAME().getText(),
                                blockLabels,
                                inner.getStart().getLine(),
                                inner.item(),
                                diagnostics));
            }
        }
        return new Block(name, labels, line, attributes, blocks);
    }

    private static Object toValue(HclParser.ValueContext value) {
        if (value.STRING() != null) {
            return unquote(value.STRING().getText());
        } else if (value.NUMBER() != null) {
            return new BigDecimal(value.NUMBER().getText());
        } else if (value.BOOL() != null) {
            return Boolean.valueOf(value.BOOL().getText());
        }
        List<Object> list = new ArrayList<>();
        value.list().value().forEach(element -> list.add(toValue(element)));
        return list;
    }

    private static String unquote(String quoted) {
        StringBuilder text = new StringBuilder();
        for (int i = 1; i < quoted.length() - 1; i++) {
            char c = quoted.charAt(i);
            if (c == '\\') {
                i++;
                char escaped = quoted.charAt(i);
                c = escaped == 'n' ? '\n' : escaped == 'r' ? '\r' : escaped == 't' ? '\t' : escaped;
            }
            text.append(c);
        }
        return text.toString();
    }
}
