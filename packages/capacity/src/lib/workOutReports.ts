import createLoad from './createLoad.js';
import type Figures from './Figures.js';
import type Load from './Load.js';

const ENDS = 2;

/** Reports of so many VMs, asked for over HTTP. Half of the exchange's time is the asking end's. */
export default function workOutReports(
  figures: Figures,
  name: string,
  vms: number,
  askedPerSecond: number,
): Load {
  const perSecond = vms * askedPerSecond;
  return createLoad(name, {
    messagesPerSecond: ENDS * perSecond,
    bytesPerSecond: perSecond * figures.of('reportExchange.bytes'),
    microsecondsPerSecond: perSecond
      * ((figures.of('reportExchange.bothEnds') / ENDS) + figures.of('report.decodeAndCheck')),
    memoryBytes: vms * figures.of('homeTable.perVM'),
  });
}
