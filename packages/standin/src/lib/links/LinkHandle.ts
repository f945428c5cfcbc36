import type LinkState from './LinkState.js';

/** A link that runs in this process. */
export default interface LinkHandle {
  /** `host:port` that leads to the target. */
  readonly address: string;
  setState(state: LinkState): void;
  close(): Promise<void>;
}
