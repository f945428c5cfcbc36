import type DonorChoice from './DonorChoice.js';
import type EarlierMove from './EarlierMove.js';
import LOAD_MILLISECONDS from './LOAD_MILLISECONDS.js';
import MINIMUM_MEASURED_MILLISECONDS from './MINIMUM_MEASURED_MILLISECONDS.js';
import type ModelLoad from './ModelLoad.js';
import countKeptGroups from './countKeptGroups.js';
import countNeededGroups from './countNeededGroups.js';
import mayReceive from './mayReceive.js';

/** Time after a move during which none goes back, in ms. */
const REVERSAL_MILLISECONDS = 2 * LOAD_MILLISECONDS;

/** Input of `decideMove`. */
interface MoveDecisionInput {
  readonly models: readonly ModelLoad[];
  /** Slots of a group. */
  readonly slots: number;
  /** Time for which demand has been measured, in ms. */
  readonly measuredMilliseconds: number;
  readonly earlierMoves: readonly EarlierMove[];
  /** Chooses up to `limit` groups of the donor; null if none can be dissolved for a group of the receiver. */
  readonly chooseGroups: (donor: ModelLoad, receiver: ModelLoad, limit: number) => DonorChoice | null;
}

/** A move of groups between two models. */
interface DecidedMove {
  readonly donor: ModelLoad;
  readonly receiver: ModelLoad;
  readonly choice: DonorChoice;
}

/**
 * Decides on the next move of groups from a model with room to one that is short, the most urgent one
 * first. A model is short if its standing demand needs more groups than it has; a donor keeps what its
 * highest demand needs. Returns null if the present groups stay as they are.
 */
export default function decideMove({
  models, slots, measuredMilliseconds, earlierMoves, chooseGroups,
}: MoveDecisionInput): DecidedMove | null {
  if (measuredMilliseconds < MINIMUM_MEASURED_MILLISECONDS) {
    return null;
  }
  const urgencyOf = ({ priority }: ModelLoad) => priority ?? Number.POSITIVE_INFINITY;
  const byUrgency = [...models].sort((left, right) => urgencyOf(left) - urgencyOf(right));
  const isReversal = (donor: ModelLoad, receiver: ModelLoad) => earlierMoves.some((move) => (
    move.donor === receiver.name && move.receiver === donor.name
      && move.ageMilliseconds < REVERSAL_MILLISECONDS));
  for (const receiver of byUrgency) {
    if (receiver.groups < countNeededGroups(receiver.standingRequests, slots)) {
      for (const donor of [...byUrgency].reverse()) {
        const limit = donor.openGroups - countKeptGroups(donor, slots);
        const choice = limit > 0 && mayReceive(receiver, donor) && !isReversal(donor, receiver)
          ? chooseGroups(donor, receiver, limit) : null;
        if (choice !== null) {
          return { donor, receiver, choice };
        }
      }
    }
  }
  return null;
}
