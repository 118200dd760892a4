import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * A server leaves, which is acknowledged; all processes of the core are killed and are back within a second; an
 * announcement that the server had sent before it left arrives late. Exits with 1 if requests reach the server later
 * than DrainMs after the acknowledgement, from machines in touch.
 */
final class ForgottenLeave {
    private static final long CONNECTIVITY_WINDOW_MS = 3_000;
    private static final int REQUESTS_PER_NODE = 20;

    private ForgottenLeave() {}

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
        Deployment.Node entry = deployment.nodes.get(4);
        PlainServer leaving = new PlainServer("i-leaving", "line-a", "howrah", deployment.nodes.get(0).ip, deployment.controls(), record);
        new PlainServer("i-staying", "line-a", "kalyani", deployment.nodes.get(2).ip, deployment.controls(), record);
        if (!deployment.configure(configuration(10), "version 10", 20_000) || !deployment.awaitReady(20_000)) return 2;
        PlainServer.pause(4_000);
        ask(deployment.nodes, record);
        if (leaving.runs.isEmpty()) {
            record.add("the server that shall leave was never used");
            return 2;
        }
        LateLink late = new LateLink(leaving.address.substring(0, leaving.address.indexOf(':')), entry.control());
        leaving.stopAnnouncing();
        leaving.announceReady(late.address);
        if (!leaving.leave(entry.control())) return 2;
        long left = System.currentTimeMillis();
        PlainServer.pause(300);
        if (trouble) {
            for (Deployment.Node node : deployment.withDisk()) node.signal("KILL");
            for (Deployment.Node node : deployment.withDisk()) node.process.waitFor();
            for (Deployment.Node node : deployment.withDisk()) node.start(false);
        }
        long back = System.currentTimeMillis();
        if (!deployment.awaitReady(15_000)) return 2;
        // From here on the core was stable, and all machines are in touch.
        PlainServer.pause(Math.max(0, back + CONNECTIVITY_WINDOW_MS + 1_500 - System.currentTimeMillis()));
        record.add("the announcement arrives, " + (System.currentTimeMillis() - left) + " ms after the leave was acknowledged");
        late.release();
        PlainServer.pause(300);
        int before = leaving.runs.size();
        long asked = System.currentTimeMillis();
        ask(deployment.nodes, record);
        int reached = leaving.runs.size() - before;
        record.add(reached + " requests reached the server that had left; clients sent them "
                + (asked - left) + " ms after the acknowledgement or later");
        return reached > 0 ? 1 : 0;
    }

    private static void ask(List<Deployment.Node> nodes, Record record) {
        for (int count = 0; count < REQUESTS_PER_NODE; count++) {
            for (Deployment.Node node : nodes) {
                String id = Long.toHexString(System.nanoTime());
                String answer;
                try {
                    Http.Message response = Http.call(node.front(), "GET", "/lines/1",
                            Map.of("Host", "cans.example", "Request-Id", id, "Deadline-Ms", "2500"), "", 2_500);
                    answer = response.status() + " " + response.header("Server-Stamp");
                } catch (IOException problem) {
                    answer = "none: " + problem;
                }
                record.add("client sent " + id + " to " + node.name + ", answer " + answer);
            }
        }
    }

    private static String configuration(long version) {
        return "{\"Version\":" + version + ",\"Routes\":[{\"Name\":\"r-lines\",\"Host\":\"cans.example\",\"PathPrefix\":\"/lines/\","
                + "\"Kind\":\"idempotent\",\"TimeoutMs\":1200,\"TargetLatencyMs\":150,\"Priority\":2,\"Service\":\"line-a\","
                + "\"MaxAttempts\":2,\"AllowAnonymous\":true,\"StickySessions\":false,\"ResumeStreams\":false}],"
                + "\"Services\":[{\"Name\":\"line-a\",\"HealthPath\":\"/healthz\",\"MaxConnections\":130,\"Protocol\":\"h1\",\"Tls\":false}],"
                + "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}";
    }
}
