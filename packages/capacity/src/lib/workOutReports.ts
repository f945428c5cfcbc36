import createLoad from './createLoad.js';
import DESIGN_SIZE from './DESIGN_SIZE.js';
import type Figures from './Figures.js';
import type Load from './Load.js';

const ENDS = 2;

/** Reports of so many VMs, asked for over HTTP. Half of the exchange's time is the asking end's. */
export default function workOutReports(figures: Figures, vms: number): Load {
  const perSecond = vms * DESIGN_SIZE.reportsPerSecond;
  return createLoad('reports of VMs, one request a period each', {
    messagesPerSecond: ENDS * perSecond,
    bytesPerSecond: perSecond * figures.of('reportExchange.bytes'),
    microsecondsPerSecond: perSecond
      * ((figures.of('reportExchange.bothEnds') / ENDS) + figures.of('report.decodeAndCheck')),
    memoryBytes: vms * figures.of('homeTable.perVM'),
  });
}
