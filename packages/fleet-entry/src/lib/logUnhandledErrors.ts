import type { Log } from '@dandelionlane/telemetry';

/** Logs unhandled errors and keeps the process running, as other requests are not affected. */
export default function logUnhandledErrors(log: Log): void {
  process.on('unhandledRejection', (cause) => {
    const reason = cause instanceof Error ? cause.stack : String(cause);
    log.error('Unhandled promise rejection.', { reason });
  });
  process.on('uncaughtException', (cause) => {
    log.error('Uncaught exception.', { reason: cause.stack });
  });
}
