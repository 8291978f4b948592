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

/** From a file's text to blocks. */
public final class HclReader {
    private HclReader() {}

    /** The file as a block; a {@link HclException} tells what is no HCL, and an unreadable file. */
    public static Block read(Path file, Diagnostics complaints) {
        String text;
        try {
            text = Files.readString(file);
        } catch (IOException e) {
            throw new HclException(List.of(file + " cannot be read: " + e));
        }
        return parse(text, complaints);
    }

    /**
     * The text as a block. Where it is no HCL, complaints say so, and a fault is thrown with them.
     */
    public static Block parse(String text, Diagnostics complaints) {
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
                        complaints.add(line, "no HCL at column " + (column + 1) + ": " + message);
                    }
                };
        HclLexer lexer = new HclLexer(CharStreams.fromString(text));
        lexer.removeErrorListeners();
        lexer.addErrorListener(listener);
        HclParser parser = new HclParser(new CommonTokenStream(lexer));
        parser.removeErrorListeners();
        parser.addErrorListener(listener);
        HclParser.FileContext file = parser.file();
        // What could not be parsed has holes in its tree: nothing more can be said of it.
        complaints.throwIfAny();
        return block("", List.of(), 1, file.item(), complaints);
    }

    private static Block block(
            String name,
            List<String> labels,
            int line,
            List<HclParser.ItemContext> items,
            Diagnostics complaints) {
        List<Attribute> attributes = new ArrayList<>();
        List<Block> blocks = new ArrayList<>();
        int before = 0;
        for (HclParser.ItemContext item : items) {
            if (item.getStart().getLine() == before) {
                complaints.add(before, "two things stand in one line");
            }
            before = item.getStop().getLine();
            if (item.attribute() != null) {
                HclParser.AttributeContext attribute = item.attribute();
                attributes.add(
                        new Attribute(
                                attribute.NAME().getText(),
                                value(attribute.value()),
                                attribute.getStart().getLine()));
            } else {
                HclParser.BlockContext inner = item.block();
                List<String> names =
                        inner.label().stream()
                                .map(
                                        label ->
                                                label.STRING() == null
                                                        ? label.getText()
                                                        : unquoted(label.getText()))
                                .toList();
                blocks.add(
                        block(
                                inner.NAME().getText(),
                                names,
                                inner.getStart().getLine(),
                                inner.item(),
                                complaints));
            }
        }
        return new Block(name, labels, line, attributes, blocks);
    }

    private static Object value(HclParser.ValueContext value) {
        if (value.STRING() != null) {
            return unquoted(value.STRING().getText());
        } else if (value.NUMBER() != null) {
            return new BigDecimal(value.NUMBER().getText());
        } else if (value.BOOL() != null) {
            return Boolean.valueOf(value.BOOL().getText());
        }
        List<Object> list = new ArrayList<>();
        value.list().value().forEach(each -> list.add(value(each)));
        return list;
    }

    private static String unquoted(String quoted) {
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
