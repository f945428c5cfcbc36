import type MoveContext from './MoveContext.js';
import type MoveProgress from './MoveProgress.js';
import planMoveClosing from './planMoveClosing.js';
import planMoveForming from './planMoveForming.js';
import planMoveStaging from './planMoveStaging.js';

/** Plans the next steps of a move, or its end. */
export default function planMove(context: MoveContext): MoveProgress {
  const { phase } = context.move;
  switch (phase) {
    case 'staging':
      return planMoveStaging(context);
    case 'closing':
      return planMoveClosing(context);
    case 'forming':
      return planMoveForming(context);
    default:
      return phase satisfies never;
  }
}
