import type ReplicaShape from './ReplicaShape.js';
import type VMObservation from './VMObservation.js';

/** Whether one VM may be a member. VMs without accelerators are for plain services, the others for models. */
export default function fitsShape({ record }: VMObservation, shape: ReplicaShape): boolean {
  if (shape.kind === 'plain') return record.accelerators === 0;
  return record.accelerators > 0 && record.accelerators >= shape.acceleratorsPerVM;
}
