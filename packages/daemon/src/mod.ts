export { type Daemon, startDaemon } from "./daemon.ts";
