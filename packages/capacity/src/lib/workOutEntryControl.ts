import createLoad from './createLoad.js';
import DESIGN_SIZE from './DESIGN_SIZE.js';
import type Figures from './Figures.js';
import type RoleLoad from './RoleLoad.js';
import workOutRelease from './workOutRelease.js';
import workOutReports from './workOutReports.js';

/** Control work of one entry. */
export default function workOutEntryControl(figures: Figures): RoleLoad {
  const rowsPerSecond = DESIGN_SIZE.replicasPerEntry * DESIGN_SIZE.pollsPerSecond;
  return {
    role: 'entry, control',
    loads: [
      createLoad('membership: random probes, digests of views', {
        messagesPerSecond: figures.of('membership.fleet.messages'),
        bytesPerSecond: figures.of('membership.fleet.bytes'),
        microsecondsPerSecond: figures.of('membership.fleet.processor'),
        memoryBytes: DESIGN_SIZE.entriesPerRegion * figures.of('memberTable.perMember'),
        storeReadsPerSecond: figures.of('membership.fleet.storeReads') / DESIGN_SIZE.entries,
      }),
      workOutReports(
        figures,
        'reports of VMs, one request a second each',
        DESIGN_SIZE.vmsPerEntry,
        DESIGN_SIZE.reportsPerSecond,
      ),
      createLoad('placement rows of home services, read in one call a poll', {
        messagesPerSecond: 2 * DESIGN_SIZE.pollsPerSecond,
        bytesPerSecond: rowsPerSecond * figures.of('placementRow.bytes'),
        microsecondsPerSecond: rowsPerSecond * figures.of('placementRow.decodeAndCheck'),
        memoryBytes: DESIGN_SIZE.replicasPerEntry * figures.of('homeTable.perReplica'),
        storeReadsPerSecond: DESIGN_SIZE.pollsPerSecond,
      }),
      createLoad('homes of every service, chosen anew at each poll', {
        microsecondsPerSecond: DESIGN_SIZE.services * DESIGN_SIZE.pollsPerSecond * figures.of('homes.perService'),
      }),
      workOutRelease(figures),
    ],
  };
}
