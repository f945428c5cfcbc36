import { planPlacement } from '../index.js';
import planNaively from './planNaively.js';
import type Planner from './Planner.js';

/** The placement policy and the naive baseline it is compared with. */
const PLANNERS: readonly { readonly name: string; readonly plan: Planner }[] = [
  { name: 'policy', plan: (input) => planPlacement(input) },
  { name: 'naive', plan: planNaively },
];

export default PLANNERS;
