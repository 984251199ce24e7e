"""The routing policy: which worker a request goes to, when it is retried and when it is refused."""
