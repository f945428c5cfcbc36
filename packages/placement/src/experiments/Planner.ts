import type { PlacementCommand, PlacementInput } from '../index.js';

/** A placement policy under measurement. */
type Planner = (input: PlacementInput) => readonly PlacementCommand[];

export default Planner;
