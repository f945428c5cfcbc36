import type FleetEntrySettings from './FleetEntrySettings.js';

/**
 * Share of the age that a view may have after which an entry that has lost its link reads the store: a new
 * holder has mostly taken over by then.
 */
const LINK_LOSS_SHARE = 0.45;

/** Time after the last state of the holder after which an entry without a link reads the store, in ms. */
export default function linkLossMilliseconds(
  { maximumViewAgeMilliseconds }: Pick<FleetEntrySettings, 'maximumViewAgeMilliseconds'>,
): number {
  return maximumViewAgeMilliseconds * LINK_LOSS_SHARE;
}
