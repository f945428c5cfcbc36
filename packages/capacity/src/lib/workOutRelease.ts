import createLoad from './createLoad.js';
import DESIGN_SIZE from './DESIGN_SIZE.js';
import type Figures from './Figures.js';
import type Load from './Load.js';

const ANNOUNCEMENTS = 3;
const TRANSFERS = 2;
const FEW_SERVICES = 1_000;

/** Release state and its changes: one pull in and one out, and announcements both ways, a change. */
export default function workOutRelease(figures: Figures): Load {
  const messageBytes = figures.of('membership.fleet.bytes') / figures.of('membership.fleet.messages');
  const apply = figures.of('releaseState.applyAtFew')
    + ((DESIGN_SIZE.services - FEW_SERVICES) * figures.of('releaseState.applyPerService'));
  const bytesPerChange = (TRANSFERS * figures.of('releaseRecord.bytes'))
    + (2 * ANNOUNCEMENTS * messageBytes);
  return createLoad('release state; heads and pulls between peers', {
    messagesPerSecond: DESIGN_SIZE.changesPerSecond * (2 * (TRANSFERS + ANNOUNCEMENTS)),
    bytesPerSecond: DESIGN_SIZE.changesPerSecond * bytesPerChange,
    microsecondsPerSecond: DESIGN_SIZE.changesPerSecond * apply,
    memoryBytes: DESIGN_SIZE.services * figures.of('releaseState.memoryPerService'),
  });
}
