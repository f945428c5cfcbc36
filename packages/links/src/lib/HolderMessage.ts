import { z } from 'zod';
import FleetState from './FleetState.js';
import HolderRedirect from './HolderRedirect.js';

/** Messages that an entry may receive on a link that it has opened. */
const HolderMessage = z.discriminatedUnion('kind', [FleetState, HolderRedirect]);
type HolderMessage = z.infer<typeof HolderMessage>;

export default HolderMessage;
