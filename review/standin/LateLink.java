import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** A link that keeps what it is sent until it is released, and then delivers it to a target. */
final class LateLink {
    final String address;
    private final ServerSocket socket;
    private final String target;
    private volatile boolean released;

    LateLink(String ip, String target) throws IOException {
        this.target = target;
        socket = new ServerSocket(0, 10, InetAddress.getByName(ip));
        address = ip + ":" + socket.getLocalPort();
        start(this::accept);
    }

    void release() {
        released = true;
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket accepted = socket.accept();
                start(() -> deliver(accepted));
            }
        } catch (IOException problem) {
            // The process ends.
        }
    }

    private void deliver(Socket accepted) {
        try (Socket sender = accepted) {
            Http.Message message = Http.read(sender.getInputStream());
            while (!released) PlainServer.pause(10);
            try (Socket receiver = new Socket()) {
                receiver.connect(Http.endpoint(target));
                Http.write(receiver.getOutputStream(), message.line(), message.headers(), message.text());
                Http.read(receiver.getInputStream());
            }
        } catch (IOException problem) {
            // Nobody waits for the answer any more.
        }
    }
}
