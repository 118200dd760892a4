import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Two machines of the core are replaced as planned, both successors first. Long after that, one of the three
 * machines of the core loses its disk. Exits with 1 if the configuration that was acknowledged is never read back.
 */
final class ReplacedCore {
    private static final long CATCH_UP_MS = 4_000;
    private static final long CONNECTIVITY_WINDOW_MS = 3_000;
    private static final long RECOVERY_MS = 12_000;
    private static final long GRACE_S = 8;

    private ReplacedCore() {}

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
        if (!deployment.configure(LostCore.configuration(10), "version 10", 20_000) || !deployment.awaitReady(20_000)) return 2;
        List<Deployment.Node> core = deployment.withDisk();
        Deployment.Node last = core.get(2);
        List<Deployment.Node> successors = List.of(deployment.newNode(0, 9, true), deployment.newNode(1, 9, true));
        deployment.nodes.addAll(successors);
        for (Deployment.Node successor : successors) successor.start(false);
        PlainServer.pause(CATCH_UP_MS + 2_000);
        for (Deployment.Node old : core.subList(0, 2)) {
            old.signal("TERM");
            if (!old.process.waitFor(GRACE_S, TimeUnit.SECONDS)) old.signal("KILL");
            old.process.waitFor(1, TimeUnit.SECONDS);
            record.add(old.name + " has ended and is not started again");
            deployment.nodes.remove(old);
            PlainServer.pause(CATCH_UP_MS + CONNECTIVITY_WINDOW_MS);
        }
        deployment.seeds = new ArrayList<>(List.of(successors.get(0), successors.get(1), last));
        if (!deployment.configure(LostCore.configuration(13), "version 13", 5_000)) return 2;
        if (trouble) {
            last.signal("KILL");
            last.process.waitFor(1, TimeUnit.SECONDS);
            last.wipe();
            PlainServer.pause(1_000);
            last.start(false);
        }
        PlainServer.pause(CATCH_UP_MS + RECOVERY_MS);
        boolean isRead = LostCore.isReadBack(deployment, record, 4 * CONNECTIVITY_WINDOW_MS);
        boolean isChanged = deployment.configure(LostCore.configuration(17), "version 17", 8_000);
        record.add("a change is acknowledged: " + isChanged);
        return isRead ? 0 : 1;
    }
}
