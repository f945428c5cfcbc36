import createLoad from './createLoad.js';
import DESIGN_SIZE from './DESIGN_SIZE.js';
import type Figures from './Figures.js';
import type RoleLoad from './RoleLoad.js';
import workOutRelease from './workOutRelease.js';
import workOutReports from './workOutReports.js';

const SCANS_PER_PLAN = 2;
const ROWS_PER_PAGE = 1_000;

/** The controller that holds a region's lease. */
export default function workOutHolder(figures: Figures): RoleLoad {
  const {
    plansPerSecond, holderRowReadsPerSecond, replicasPerRegion, workersPerRegion,
  } = DESIGN_SIZE;
  const pages = SCANS_PER_PLAN - 1 + Math.ceil(workersPerRegion / ROWS_PER_PAGE);
  return {
    role: 'controller, lease holder of one region',
    loads: [
      workOutReports(
        figures,
        'reports of VMs, one request in 4 s each',
        workersPerRegion,
        DESIGN_SIZE.holderReportsPerSecond,
      ),
      createLoad('placement and allocation rows of the region, read every 30 s', {
        messagesPerSecond: 2 * pages * holderRowReadsPerSecond,
        bytesPerSecond: holderRowReadsPerSecond * ((replicasPerRegion * figures.of('placementRow.bytes'))
          + (workersPerRegion * figures.of('allocationRow.bytes'))),
        microsecondsPerSecond: holderRowReadsPerSecond * ((replicasPerRegion * figures.of('placementRow.decodeAndCheck'))
          + (workersPerRegion * figures.of('allocationRow.decodeAndCheck'))),
        memoryBytes: replicasPerRegion * figures.of('homeTable.perReplica'),
        storeReadsPerSecond: pages * holderRowReadsPerSecond,
      }),
      createLoad('planner, one round a period', {
        microsecondsPerSecond: plansPerSecond * figures.of('planner.region'),
      }),
      createLoad('lease, renewed four times a term', {
        storeReadsPerSecond: DESIGN_SIZE.leaseStepsPerSecond,
        storeWritesPerSecond: DESIGN_SIZE.leaseStepsPerSecond,
      }),
      workOutRelease(figures),
    ],
  };
}
