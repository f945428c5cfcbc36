import createLoad from './createLoad.js';
import DESIGN_SIZE from './DESIGN_SIZE.js';
import type Load from './Load.js';
import type RoleLoad from './RoleLoad.js';
import sumLoads from './sumLoads.js';

const SECONDS_PER_DAY = 86_400;
const FAILED_VMS_PER_DAY = 190;
const RESTARTED_VMS_PER_DAY = 1_200;
/** Transactions that a repaired replica takes: stop, place, serve and grants. */
const TRANSACTIONS_PER_REPAIR = 4;

function scaled(load: Load, mechanism: string, count: number): Load {
  return createLoad(mechanism, {
    storeReadsPerSecond: load.storeReadsPerSecond * count,
    storeWritesPerSecond: load.storeWritesPerSecond * count,
  });
}

function regionLoads(entry: RoleLoad, standby: RoleLoad, holder: RoleLoad): readonly Load[] {
  const repairs = (FAILED_VMS_PER_DAY + RESTARTED_VMS_PER_DAY) / SECONDS_PER_DAY / DESIGN_SIZE.regions;
  return [
    scaled(sumLoads(entry.loads), 'entries', DESIGN_SIZE.entriesPerRegion),
    scaled(sumLoads(standby.loads), 'standby controllers', DESIGN_SIZE.entriesPerRegion - 1),
    scaled(sumLoads(holder.loads), 'lease holder', 1),
    createLoad('changes read by the pollers', {
      storeReadsPerSecond: DESIGN_SIZE.changesPerSecond * DESIGN_SIZE.pollersPerRegion,
    }),
    createLoad('repairs of replicas', { storeWritesPerSecond: repairs * TRANSACTIONS_PER_REPAIR }),
  ];
}

/** Calls of the table service, for one region and in all. Claims are not among them. */
export default function workOutStore(
  entry: RoleLoad,
  standby: RoleLoad,
  holder: RoleLoad,
): readonly RoleLoad[] {
  const region = regionLoads(entry, standby, holder);
  const whole = region.map((load) => scaled(load, load.mechanism, DESIGN_SIZE.regions));
  const publications = createLoad('publications', { storeWritesPerSecond: DESIGN_SIZE.changesPerSecond });
  return [
    { role: 'table service, share of one region', loads: region },
    { role: 'table service, whole', loads: [...whole, publications] },
  ];
}
