import type Load from './Load.js';

/** A role and what each of its mechanisms costs at the size to design for. */
export default interface RoleLoad {
  readonly role: string;
  readonly loads: readonly Load[];
}
