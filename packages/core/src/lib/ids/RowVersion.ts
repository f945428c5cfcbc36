import { z } from 'zod';

/** Version of a table row. 0 means that the row does not exist. */
const RowVersion = z.number().int().nonnegative().brand<'RowVersion'>();
type RowVersion = z.infer<typeof RowVersion>;

export default RowVersion;
