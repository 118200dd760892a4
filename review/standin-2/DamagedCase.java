import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;

/**
 * An operator sends a configuration that was damaged on its way to the sender: one byte of it is such that the text is
 * no JSON any more. It must be refused, and the configuration before it must stay in force.
 */
public final class DamagedCase {
    private final Deployment deployment;
    private final PrintWriter record;
    private final long startNanos = System.nanoTime();
    private int requests;
    private int damagedSent;
    private int broken;

    private DamagedCase(Deployment deployment, PrintWriter record) {
        this.deployment = deployment;
        this.record = record;
    }

    public static void main(String[] arguments) throws Exception {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        int status;
        try (PrintWriter record = new PrintWriter(Files.newBufferedWriter(Path.of(arguments[0])), true)) {
            try (Deployment deployment = new Deployment(3)) {
                status = new DamagedCase(deployment, record).run(hasTrouble);
            } catch (Exception problem) {
                record.println("could not run: " + problem);
                status = 2;
            }
            record.println("exit " + status);
        }
        System.exit(status);
    }

    private void note(String text) {
        record.println((System.nanoTime() - startNanos) / 1_000_000 + " ms " + text);
    }

    private int run(boolean hasTrouble) throws Exception {
        for (Deployment.Machine machine : deployment.machines) machine.start(true);
        try (Runners runners = new Runners("line-app", 6, 43, deployment.controls())) {
            runners.onRun = run -> note("run " + run.id + " " + run.method + " " + run.path);
            for (int index = 0; index < 3; index++) runners.start();
            byte[] first = configuration(1);
            if (put(first, 60) != 200) return 2;
            Thread.sleep(4_000);
            if (!isServed("before")) return 2;

            byte[] path = configuration(2);
            damage(path, "/order/", 4, (byte) 0xE9);
            byte[] key = configuration(3);
            damage(key, "\"ApiKeys\":[\"", 15, (byte) 0xFF);
            byte[] word = configuration(4);
            damage(word, "\"Tls\":false", 9, (byte) '#');
            check("a byte E9 in a path prefix, which is no UTF-8 there", hasTrouble ? path : configuration(2), hasTrouble);
            check("a byte FF in a key, which is never UTF-8", hasTrouble ? key : configuration(3), hasTrouble);
            check("a literal fal#e, which is no JSON", hasTrouble ? word : configuration(4), hasTrouble);
        }
        note("damaged configurations sent " + damagedSent + ", rules broken " + broken);
        return broken == 0 ? 0 : 1;
    }

    private static byte[] configuration(long version) {
        return Configurations.of(version, Configurations.tenants(10, 54), 2_500).getBytes(StandardCharsets.UTF_8);
    }

    /** Replaces the byte that stands {@code offset} bytes after the start of the first {@code text}. */
    private static void damage(byte[] configuration, String text, int offset, byte value) {
        int start = new String(configuration, StandardCharsets.ISO_8859_1).indexOf(text);
        if (start < 0) throw new IllegalStateException(text + " is missing");
        configuration[start + offset] = value;
    }

    /** Sends a configuration, reads back what is in force after the time for its application, and sends requests. */
    private void check(String what, byte[] configuration, boolean isDamaged) throws Exception {
        byte[] before = readBack();
        int status = put(configuration, 10);
        Thread.sleep(3_000);
        byte[] held = readBack();
        boolean isHeld = Arrays.equals(held, configuration);
        boolean isUnchanged = Arrays.equals(held, before);
        note((isDamaged ? "damaged, " + what : "sound") + ": status " + status + ", read back "
            + (isHeld ? "what was sent" : isUnchanged ? "what was in force before" : "neither what was sent nor what was before"));
        boolean isServed = isServed("after");
        if (isDamaged) {
            damagedSent++;
            if (status / 100 == 2) violation("CONFIG: what is invalid is acknowledged");
            if (!isUnchanged) violation("CONFIG: what is invalid is in force");
        } else if (status != 200 || !isHeld) {
            violation("CONFIG: a sound configuration is not acknowledged, or isn't read back as it was sent");
        }
        if (!isServed) note("a request on a route that every sound configuration holds was not served");
    }

    private void violation(String rule) {
        broken++;
        note("broken: " + rule);
    }

    private int put(byte[] configuration, int attempts) throws InterruptedException {
        List<String> controls = deployment.controls();
        for (int attempt = 0; attempt < attempts; attempt++) {
            try {
                Net.Message answer = Net.call(controls.get(attempt % controls.size()), "PUT", "/api/config",
                    "Content-Type: application/json\r\n", configuration, 2_000);
                if (answer != null && answer.status() < 500) return answer.status();
            } catch (IOException notAnswered) {
                // Sent again, to the next machine.
            }
            Thread.sleep(200);
        }
        return -1;
    }

    private byte[] readBack() throws Exception {
        List<String> controls = deployment.controls();
        for (int attempt = 0; attempt < 50; attempt++) {
            try {
                Net.Message answer =
                    Net.call(controls.get(attempt % controls.size()), "GET", "/api/config", "", new byte[0], 2_000);
                if (answer != null && answer.status() == 200) return answer.body;
            } catch (IOException notAnswered) {
                // Asked again.
            }
            Thread.sleep(200);
        }
        throw new IOException("the configuration can't be read");
    }

    /** Whether an order is served at each machine. */
    private boolean isServed(String when) throws IOException {
        boolean isServed = true;
        for (Deployment.Machine machine : deployment.machines) {
            String id = "q" + ++requests;
            Net.Message answer = Net.call(machine.front(), "POST", "/order/7",
                "Host: site.example\r\nRequest-Id: " + id + "\r\nDeadline-Ms: 2500\r\n", "{}".getBytes(StandardCharsets.UTF_8), 3_000);
            note(when + ": sent " + id + " POST /order/7, answered " + (answer == null ? "nothing" : answer.firstLine));
            isServed = isServed && answer != null && answer.status() == 200;
        }
        return isServed;
    }
}
