import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * A machine of the core is replaced as planned, its successor first. After the old one has ended, another
 * machine of the core loses its disk. Exits with 1 if the configuration that was acknowledged is never read back.
 */
final class LostCore {
    private static final long CATCH_UP_MS = 4_000;
    private static final long CONNECTIVITY_WINDOW_MS = 3_000;
    private static final long RECOVERY_MS = 12_000;
    private static final long GRACE_S = 8;

    private LostCore() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(arguments[1]));
        int exit = 2;
        try (Deployment deployment = new Deployment(Path.of(arguments[0]), 6, record)) {
            exit = play(deployment, record, trouble);
        } catch (IOException problem) {
            record.add("can't run: " + problem);
        }
        record.add("exit " + exit);
        System.exit(exit);
    }

    private static int play(Deployment deployment, Record record, boolean trouble) throws IOException, InterruptedException {
        for (Deployment.Node node : deployment.nodes) node.start(true);
        if (!deployment.configure(configuration(10), "version 10", 20_000) || !deployment.awaitReady(20_000)) return 2;
        PlainServer.pause(2_000);
        if (!deployment.configure(configuration(13), "version 13", 5_000)) return 2;
        List<Deployment.Node> core = deployment.withDisk();
        Deployment.Node old = core.get(0);
        Deployment.Node other = core.get(1);
        Deployment.Node successor = deployment.newNode(0, 9, true);
        deployment.nodes.add(successor);
        successor.start(false);
        // The successor has its catch-up time and a second more before anything else happens.
        PlainServer.pause(CATCH_UP_MS + 1_000);
        old.signal("TERM");
        if (!old.process.waitFor(GRACE_S, TimeUnit.SECONDS)) old.signal("KILL");
        old.process.waitFor(1, TimeUnit.SECONDS);
        record.add(old.name + " has ended and is not started again");
        deployment.nodes.remove(old);
        deployment.seeds = new ArrayList<>(List.of(successor, other, core.get(2)));
        PlainServer.pause(1_000);
        if (trouble) {
            other.signal("KILL");
            other.process.waitFor(1, TimeUnit.SECONDS);
            other.wipe();
            PlainServer.pause(1_000);
            other.start(false);
        }
        PlainServer.pause(CATCH_UP_MS + RECOVERY_MS);
        boolean isRead = isReadBack(deployment, record, 4 * CONNECTIVITY_WINDOW_MS);
        boolean isChanged = deployment.configure(configuration(17), "version 17", 10_000);
        record.add("a change is acknowledged: " + isChanged);
        return isRead ? 0 : 1;
    }

    /** Reads the configuration at all machines, again and again until one answers with version 13 or the time is over. */
    static boolean isReadBack(Deployment deployment, Record record, long timeoutMs) {
        boolean isRead = false;
        long end = System.currentTimeMillis() + timeoutMs;
        while (!isRead && System.currentTimeMillis() < end) {
            for (Deployment.Node node : deployment.nodes) isRead |= reads(node, record);
            PlainServer.pause(500);
        }
        record.add("configuration read back: " + isRead);
        return isRead;
    }

    private static boolean reads(Deployment.Node node, Record record) {
        String answer;
        boolean isNewest = false;
        try {
            Http.Message response = Http.call(node.control(), "GET", "/api/config", Map.of(), "", 1_500);
            isNewest = response.status() == 200 && response.text().contains("\"Version\":13");
            answer = response.status() + (isNewest ? " with version 13" : "");
        } catch (IOException problem) {
            answer = "none: " + problem;
        }
        record.add("operator read the configuration at " + node.name + ", answer " + answer);
        return isNewest;
    }

    static String configuration(long version) {
        return "{\"Version\":" + version + ",\"Routes\":[{\"Name\":\"r-lines\",\"Host\":\"cans.example\",\"PathPrefix\":\"/lines/\","
                + "\"Kind\":\"idempotent\",\"TimeoutMs\":1200,\"TargetLatencyMs\":150,\"Priority\":2,\"Service\":\"line-a\","
                + "\"MaxAttempts\":2,\"AllowAnonymous\":true,\"StickySessions\":false,\"ResumeStreams\":false}],"
                + "\"Services\":[{\"Name\":\"line-a\",\"HealthPath\":\"/healthz\",\"MaxConnections\":130,\"Protocol\":\"h1\",\"Tls\":false}],"
                + "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}";
    }
}
