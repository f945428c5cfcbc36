import type { Log } from '@dandelionlane/telemetry';

/** Logs what nobody has handled, and lives on: other requests are not concerned. */
export default function logUnhandledErrors(log: Log): void {
  process.on('unhandledRejection', (cause) => {
    const reason = cause instanceof Error ? cause.stack : String(cause);
    log.error('A promise was rejected without a handler.', { reason });
  });
  process.on('uncaughtException', (cause) => {
    log.error('An exception was not caught.', { reason: cause.stack });
  });
}
