import type ReplicaShape from './ReplicaShape.js';
import type VMObservation from './VMObservation.js';

/** Whether the VM fits the shape. Plain services use VMs without accelerators, models use the others. */
export default function fitsShape({ record }: VMObservation, shape: ReplicaShape): boolean {
  if (shape.kind === 'plain') return record.accelerators === 0;
  return record.accelerators > 0 && record.accelerators >= shape.acceleratorsPerVM;
}
