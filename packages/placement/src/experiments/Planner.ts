import type { PlacementCommand, PlacementInput } from '../index.js';

/** A placement policy that an experiment measures. */
type Planner = (input: PlacementInput) => readonly PlacementCommand[];

export default Planner;
