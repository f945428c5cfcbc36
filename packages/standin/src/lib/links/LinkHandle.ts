import type LinkState from './LinkState.js';

/** A link that runs in this process. */
export default interface LinkHandle {
  /** `host:port` that leads to the target. */
  readonly address: string;
  /** Sets the state for connections from one address, or, without one, for all others. */
  setState(state: LinkState, source?: string): void;
  /** Stops to listen, as a host does once the process has ended, or listens again at the same address. */
  setListening(isListening: boolean): Promise<void>;
  close(): Promise<void>;
}
