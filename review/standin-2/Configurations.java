import java.util.Random;

/** Configurations as an operator sends them. */
final class Configurations {
    private Configurations() {}

    private static final String LETTERS = "abcdefghijklmnopqrstuvwxyz0123456789";

    /** A text of {@code count} tenants with two keys of 20 characters each; the same for the same seed. */
    static String tenants(int count, long seed) {
        return tenants(count, 2, 20, seed);
    }

    /** A text of {@code count} tenants, each with {@code keys} keys of {@code length} characters. */
    static String tenants(int count, int keys, int length, long seed) {
        Random random = new Random(seed);
        StringBuilder text = new StringBuilder("[");
        for (int index = 0; index < count; index++) {
            if (index > 0) text.append(',');
            text.append("{\"Name\":\"").append(word(random, 7)).append(index).append("\",\"ApiKeys\":[");
            for (int key = 0; key < keys; key++) {
                text.append(key == 0 ? "\"" : ",\"").append(word(random, length)).append('"');
            }
            text.append("],\"Priority\":1}");
        }
        return text.append(']').toString();
    }

    static String word(Random random, int length) {
        StringBuilder text = new StringBuilder();
        for (int index = 0; index < length; index++) text.append(LETTERS.charAt(random.nextInt(LETTERS.length())));
        return text.toString();
    }

    /** A configuration with one route of each kind to the plain service {@code line-app}. */
    static String of(long version, String tenants, int timeoutMillis) {
        return "{\"Version\":" + version + ",\"Routes\":["
            + route("order", "non_idempotent", timeoutMillis, 1) + "," + route("status", "idempotent", timeoutMillis, 2)
            + "],\"Services\":[{\"Name\":\"line-app\",\"HealthPath\":\"/healthz\",\"MaxConnections\":998,"
            + "\"Protocol\":\"h1\",\"Tls\":false}],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,"
            + "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},\"Tenants\":" + tenants + "}";
    }

    /** Like {@link #of}, with a second plain service and a route of {@code host} that is split between both by {@code weights}. */
    static String withSplit(long version, String tenants, int timeoutMillis, String host, String[] weights) {
        String split = route("split", "non_idempotent", timeoutMillis, 1).replace("\"Service\":\"line-app\"",
            "\"TrafficSplit\":[{\"Service\":\"line-app\",\"Weight\":" + weights[0]
                + "},{\"Service\":\"line-app-next\",\"Weight\":" + weights[1] + "}]");
        return of(version, tenants, timeoutMillis)
            .replace("\"Routes\":[", "\"Routes\":[" + split.replace("site.example", host) + ",")
            .replace("\"Services\":[", "\"Services\":[{\"Name\":\"line-app-next\",\"HealthPath\":\"/healthz\","
                + "\"MaxConnections\":998,\"Protocol\":\"h1\",\"Tls\":false},");
    }

    private static String route(String name, String kind, int timeoutMillis, int attempts) {
        return "{\"Name\":\"r-" + name + "\",\"Host\":\"site.example\",\"PathPrefix\":\"/" + name + "/\",\"Kind\":\"" + kind
            + "\",\"TimeoutMs\":" + timeoutMillis + ",\"TargetLatencyMs\":1000,\"Priority\":1,\"Service\":\"line-app\","
            + "\"MaxAttempts\":" + attempts + ",\"AllowAnonymous\":true,\"StickySessions\":false,\"ResumeStreams\":false}";
    }
}
