import type { EventEmitter } from 'node:events';

const SIGNALS = ['SIGTERM', 'SIGINT'] as const;

/**
 * Begins a graceful shutdown at the first SIGTERM or SIGINT. Later signals change
 * nothing: without a listener they would end the process and cut what is in flight.
 *
 * @example
 * onShutdownSignal(process, () => entry.stop());
 */
export default function onShutdownSignal(source: EventEmitter, stop: () => Promise<void>): void {
  let stopping = false;
  const listener = () => {
    if (!stopping) {
      stopping = true;
      void stop();
    }
  };
  SIGNALS.forEach((signal) => source.on(signal, listener));
}
