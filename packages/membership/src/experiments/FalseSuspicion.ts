import type Variant from './Variant.js';

/** False suspicions and false deaths of live entries under loss, delay and pauses. */
export default interface FalseSuspicion {
  readonly variant: Variant;
  readonly entries: number;
  readonly loss: number;
  readonly pauseMilliseconds: number;
  readonly pauses: number;
  readonly minutes: number;
  readonly probePeriodMilliseconds: number;
  /** Transitions to `suspect` of a running entry, counted per view. */
  readonly suspicionsOfRunning: number;
  /** Transitions to `dead` of a running entry, counted per view. */
  readonly deathsOfRunning: number;
  /** Transitions to `dead` of an entry that is paused or was in the last 10 s, counted per view. */
  readonly deathsOfPaused: number;
}
