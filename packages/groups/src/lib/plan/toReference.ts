import type ObservedWorker from '../observation/ObservedWorker.js';
import type MemberReference from './MemberReference.js';

/** Reference to the current instance of a worker. */
export default function toReference({ worker, report }: ObservedWorker): MemberReference {
  return {
    id: worker.id,
    bornAt: report?.bornAt ?? worker.bornAt,
    address: worker.address,
    zone: worker.zone,
    domain: report?.domain ?? worker.domain,
  };
}
