import createLoad from './createLoad.js';
import DESIGN_SIZE from './DESIGN_SIZE.js';
import type Figures from './Figures.js';
import type RoleLoad from './RoleLoad.js';
import workOutReports from './workOutReports.js';

const ASSESSMENTS_PER_REQUEST = 2;

/** Decisions of one entry's data path. Relaying the bytes is not measured here. */
export default function workOutEntryData(figures: Figures): RoleLoad {
  return {
    role: 'entry, data path (without relaying)',
    loads: [
      createLoad('choice of a target', {
        microsecondsPerSecond: DESIGN_SIZE.requestsPerEntry * figures.of('routing.chooseTarget'),
      }),
      createLoad('wholeness, at dispatch and before the last byte', {
        microsecondsPerSecond:
          DESIGN_SIZE.requestsPerEntry * ASSESSMENTS_PER_REQUEST * figures.of('routing.assessReplica'),
      }),
      workOutReports(
        figures,
        'reports while tokens are held, every replica streaming',
        DESIGN_SIZE.vmsPerEntry,
        DESIGN_SIZE.confirmationsPerSecond,
      ),
    ],
  };
}
