import type { EventEmitter } from 'node:events';

const SIGNALS = ['SIGTERM', 'SIGINT'] as const;

/**
 * Starts a graceful shutdown on the first SIGTERM or SIGINT. Later signals are ignored:
 * without a listener they would kill the process and abort in-flight requests.
 *
 * @example
 * onShutdownSignal(process, () => entry.stop());
 */
export default function onShutdownSignal(source: EventEmitter, stop: () => Promise<void>): void {
  let isStopping = false;
  const listener = () => {
    if (!isStopping) {
      isStopping = true;
      void stop();
    }
  };
  SIGNALS.forEach((signal) => source.on(signal, listener));
}
