import type TargetCrash from './TargetCrash.js';

type CrashedProcess = Pick<TargetCrash, 'id' | 'bornAt'>;

/** Whether two crashes are those of the same process. */
export default function isSameCrash(left: CrashedProcess, right: CrashedProcess): boolean {
  return left.id === right.id && left.bornAt === right.bornAt;
}
