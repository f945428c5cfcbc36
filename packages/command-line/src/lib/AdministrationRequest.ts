import type { ChangeRequest } from '@dandelionlane/core';

/** A request to the administration of an entry. Reading may be repeated, a change may not. */
type AdministrationRequest = | { readonly method: 'GET'; readonly path: string }
  | { readonly method: 'POST'; readonly path: string; readonly body: ChangeRequest };

export default AdministrationRequest;
