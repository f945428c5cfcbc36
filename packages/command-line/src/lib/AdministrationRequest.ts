import type { ChangeRequest } from '@dandelionlane/core';

/** Request to the administration interface of an entry. A GET is safe to retry, a POST is not. */
type AdministrationRequest = | { readonly method: 'GET'; readonly path: string }
  | { readonly method: 'POST'; readonly path: string; readonly body: ChangeRequest };

export default AdministrationRequest;
