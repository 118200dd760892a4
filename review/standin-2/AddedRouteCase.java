import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * A configuration adds a route; then clients use it and one of the first routes. The host of the added route has
 * capitals, or the route is split between two services by large weights.
 */
public final class AddedRouteCase {
    private static final int REQUESTS_A_MACHINE = 20;

    private final Deployment deployment;
    private final PrintWriter record;
    private final long startNanos = System.nanoTime();
    private final boolean isAboutHost;
    private int requests;

    private AddedRouteCase(Deployment deployment, PrintWriter record, boolean isAboutHost) {
        this.deployment = deployment;
        this.record = record;
        this.isAboutHost = isAboutHost;
    }

    public static void main(String[] arguments) throws Exception {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        int status;
        try (PrintWriter record = new PrintWriter(Files.newBufferedWriter(Path.of(arguments[0])), true)) {
            try (Deployment deployment = new Deployment(3)) {
                status = new AddedRouteCase(deployment, record, arguments[1].equals("host")).run(hasTrouble);
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
        try (Runners first = new Runners("line-app", 6, 43, deployment.controls(), 0);
            Runners second = new Runners("line-app-next", 6, 43, deployment.controls(), 100)) {
            for (Runners runners : List.of(first, second)) {
                runners.onRun = run -> note("run " + run.id + " " + run.method + " " + run.path);
                for (int index = 0; index < 3; index++) runners.start();
            }
            String tenants = Configurations.tenants(10, 54);
            if (!put(Configurations.of(1, tenants, 2_500))) return 2;
            Thread.sleep(4_000);
            String host = isAboutHost && hasTrouble ? "Howrah-Line.Example" : "howrah-line.example";
            String weights = !isAboutHost && hasTrouble ? "2000000000,200000000" : "20,2";
            if (!put(Configurations.withSplit(2, tenants, 2_500, host, weights.split(",")))) return 2;
            note("version 2 acknowledged, which adds the route /split/ of " + host + " with the weights " + weights);
            Thread.sleep(5_000);
            int servedFirst = serve("site.example", "/order/7");
            int servedAdded = serve(host, "/split/7");
            note("of " + requests / 2 + " requests each, served on a first route " + servedFirst + ", on the added route "
                + servedAdded);
            if (servedFirst < requests / 4) return 2;
            return servedAdded < servedFirst / 4 ? 1 : 0;
        }
    }

    private boolean put(String configuration) throws InterruptedException {
        List<String> controls = deployment.controls();
        byte[] body = configuration.getBytes(StandardCharsets.UTF_8);
        for (int attempt = 0; attempt < 60; attempt++) {
            try {
                Net.Message answer = Net.call(controls.get(attempt % controls.size()), "PUT", "/api/config",
                    "Content-Type: application/json\r\n", body, 2_000);
                if (answer != null && answer.status() == 200) return true;
                if (answer != null && answer.status() < 500) note("refused: " + answer.firstLine);
            } catch (IOException notAnswered) {
                // Sent again, to the next machine.
            }
            Thread.sleep(200);
        }
        return false;
    }

    /** Sends requests to each machine; returns how many were answered with success. */
    private int serve(String host, String path) {
        int served = 0;
        for (int count = 0; count < REQUESTS_A_MACHINE; count++) {
            for (Deployment.Machine machine : deployment.machines) {
                String id = "q" + ++requests;
                String outcome;
                try {
                    Net.Message answer = Net.call(machine.front(), "POST", path,
                        "Host: " + host + "\r\nRequest-Id: " + id + "\r\nDeadline-Ms: 2500\r\n",
                        "{}".getBytes(StandardCharsets.UTF_8), 3_000);
                    outcome = answer == null ? "closed without an answer" : answer.firstLine;
                    if (answer != null && answer.status() == 200) served++;
                } catch (IOException problem) {
                    outcome = problem.toString();
                }
                note("sent " + id + " POST " + path + " to " + host + ": " + outcome);
            }
        }
        return served;
    }
}
