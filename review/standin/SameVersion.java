import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * While one machine of the core is frozen, a configuration is acknowledged, and a machine of the same zone gets
 * other content under the same version. Exits with 1 if a machine obeys that content when all is calm again.
 */
final class SameVersion {
    private static final int ROUNDS = 6;
    private static final long CONNECTIVITY_WINDOW_MS = 3_000;
    private static final long CONFIG_APPLY_MS = 2_000;

    private SameVersion() {}

    public static void main(String[] arguments) throws Exception {
        Path repository = Path.of(arguments[0]);
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(arguments[1]));
        int exit = 2;
        try (Deployment deployment = new Deployment(repository, 6, record)) {
            new PlainServer("i-aaaa", "line-a", "howrah", deployment.nodes.get(0).ip, deployment.controls(), record);
            new PlainServer("i-bbbb", "line-b", "kalyani", deployment.nodes.get(2).ip, deployment.controls(), record);
            exit = play(deployment, record, trouble);
        } catch (IOException problem) {
            record.add("can't run: " + problem);
        }
        record.add("exit " + exit);
        System.exit(exit);
    }

    private static int play(Deployment deployment, Record record, boolean trouble)
            throws IOException, InterruptedException {
        for (Deployment.Node node : deployment.nodes) node.start(true);
        if (!deployment.configure(configuration(10, "line-a"), "version 10 (line-a)", 20_000) || !deployment.awaitReady(20_000)) {
            record.add("the deployment did not come up");
            return 2;
        }
        PlainServer.pause(4_000);
        if (obeying(deployment, record, "line-a") < deployment.nodes.size()) return 2;
        int broken = 0;
        for (int round = 0; round < ROUNDS; round++) {
            long version = 20 + 3L * round;
            Deployment.Node frozen = deployment.followers().get(round % 2);
            int zone = deployment.withDisk().indexOf(frozen);
            Deployment.Node acknowledging = deployment.nodes.get(3 + (zone + 1) % 3);
            Deployment.Node other = deployment.nodes.get(3 + zone);
            String held = round % 2 == 0 ? "line-b" : "line-a";
            String wrong = round % 2 == 0 ? "line-a" : "line-b";
            if (trouble) frozen.signal("STOP");
            PlainServer.pause(100);
            int status = deployment.putConfiguration(acknowledging, configuration(version, held), "version " + version + " (" + held + ")");
            if (trouble && status == 200) {
                deployment.putConfiguration(other, configuration(version, wrong), "version " + version + " with other content (" + wrong + ")");
            }
            PlainServer.pause(1_000);
            if (trouble) frozen.signal("CONT");
            if (status != 200 && !deployment.configure(configuration(version, held), "version " + version + " (" + held + ")", 5_000)) return 2;
            PlainServer.pause(CONNECTIVITY_WINDOW_MS + CONFIG_APPLY_MS);
            String read = readBack(deployment.nodes.get(0));
            boolean isHeld = read.contains("\"Version\":" + version) && read.contains("\"Service\":\"" + held + "\"");
            record.add("read back: version " + version + " with " + held + ": " + isHeld);
            int obeying = obeying(deployment, record, held);
            if (!isHeld || obeying < deployment.nodes.size()) {
                broken++;
                record.add("round " + round + ": BROKEN, " + (deployment.nodes.size() - obeying)
                        + " node(s) obey other content than the one acknowledged under version " + version);
            }
        }
        record.add(broken + " of " + ROUNDS + " rounds broke the rule");
        return broken > 0 ? 1 : 0;
    }

    /** The number of nodes whose request is run by [service]. */
    private static int obeying(Deployment deployment, Record record, String service) {
        int count = 0;
        for (Deployment.Node node : deployment.nodes) {
            String id = Long.toHexString(System.nanoTime());
            String answer;
            try {
                Http.Message response = Http.call(node.front(), "GET", "/lines/1",
                        Map.of("Host", "cans.example", "Request-Id", id, "Deadline-Ms", "2500"), "", 2_500);
                answer = response.status() + " " + response.text();
            } catch (IOException problem) {
                answer = "none: " + problem;
            }
            record.add("client sent " + id + " to " + node.name + ", answer " + answer);
            if (answer.equals("200 from " + service)) count++;
        }
        return count;
    }

    private static String readBack(Deployment.Node node) {
        try {
            return Http.call(node.control(), "GET", "/api/config", Map.of(), "", 1_500).text();
        } catch (IOException problem) {
            return "none: " + problem;
        }
    }

    private static String configuration(long version, String service) {
        return "{\"Version\":" + version + ",\"Routes\":[{\"Name\":\"r-lines\",\"Host\":\"cans.example\",\"PathPrefix\":\"/lines/\","
                + "\"Kind\":\"idempotent\",\"TimeoutMs\":1200,\"TargetLatencyMs\":150,\"Priority\":2,\"Service\":\"" + service
                + "\",\"MaxAttempts\":2,\"AllowAnonymous\":true,\"StickySessions\":false,\"ResumeStreams\":false}],"
                + "\"Services\":[{\"Name\":\"line-a\",\"HealthPath\":\"/healthz\",\"MaxConnections\":130,\"Protocol\":\"h1\",\"Tls\":false},"
                + "{\"Name\":\"line-b\",\"HealthPath\":\"/healthz\",\"MaxConnections\":130,\"Protocol\":\"h1\",\"Tls\":false}],"
                + "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}";
    }
}
