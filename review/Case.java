import java.nio.file.Path;

/** Runs a case: exit status 1 if the rule was broken, 0 if it held, 2 if it could not run. */
abstract class Case {

	/** Returns whether the rule was broken. */
	abstract boolean broken(Deployment deployment, boolean trouble) throws Exception;

	static void run(Case each, String[] arguments) {
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		int status = 2;
		try (Record record = new Record(Path.of(arguments[0], "record.txt"))) {
			try (Deployment deployment = new Deployment(record)) {
				record.line("TROUBLE=" + ((trouble) ? 1 : 0));
				deployment.configure();
				boolean broken = each.broken(deployment, trouble);
				record.say((broken) ? "the rule was broken" : "the rule held");
				status = (broken) ? 1 : 0;
			}
			catch (Exception ex) {
				record.say("the case could not run: " + ex);
				ex.printStackTrace();
			}
		}
		catch (Exception ex) {
			ex.printStackTrace();
		}
		System.exit(status);
	}

	static void check(boolean expected, String problem) {
		if (!expected) {
			throw new IllegalStateException(problem);
		}
	}

	/** Head of a client's request. */
	static String head(String method, String path, String attemptId, long deadlineMillis, int bodyBytes) {
		return method + " " + path + " HTTP/1.1\r\nHost: " + Deployment.HOST + "\r\nX-Mulberrylift-Attempt-Id: "
				+ attemptId + "\r\nX-Mulberrylift-Deadline-Ms: " + deadlineMillis + "\r\nAuthorization: Bearer "
				+ Deployment.KEY + "\r\n" + ((bodyBytes > 0) ? "Content-Length: " + bodyBytes + "\r\n" : "") + "\r\n";
	}

}
