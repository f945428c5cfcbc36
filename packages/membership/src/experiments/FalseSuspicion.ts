import type Variant from './Variant.js';

/** Accusations of live entries under loss, delay and pauses. */
export default interface FalseSuspicion {
  readonly variant: Variant;
  readonly entries: number;
  readonly loss: number;
  readonly pauseMilliseconds: number;
  readonly pauses: number;
  readonly minutes: number;
  readonly probePeriodMilliseconds: number;
  /** Changes of one view to `suspect` about an entry that runs. */
  readonly suspicionsOfRunning: number;
  /** Changes of one view to `dead` about an entry that runs. */
  readonly deathsOfRunning: number;
  /** Changes of one view to `dead` about an entry that is paused or was within the last 10 s. */
  readonly deathsOfPaused: number;
}
