import type FleetEntrySettings from './FleetEntrySettings.js';

/** Share of the age that a view may have. Leaves time for a call that is not answered and one that is. */
const PERIOD_SHARE = 1 / 3;

/**
 * Period in which an entry without a link reads a table, in ms. As long as the age of its view allows: at
 * times all entries are without a link, and each call to the store has a cost.
 */
export default function unlinkedPeriodMilliseconds(
  { maximumViewAgeMilliseconds }: Pick<FleetEntrySettings, 'maximumViewAgeMilliseconds'>,
): number {
  return maximumViewAgeMilliseconds * PERIOD_SHARE;
}
