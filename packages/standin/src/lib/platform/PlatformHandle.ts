import type RunningServer from '../server/RunningServer.js';

/** A platform stand-in that runs in this process. */
type PlatformHandle = RunningServer;

export default PlatformHandle;
