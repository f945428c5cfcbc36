import type { VMId } from '@dandelionlane/core';
import type JournalDocument from '../journal/JournalDocument.js';
import type VMFault from './VMFault.js';

/** VM stand-ins that run in this process. */
export default interface VMsHandle {
  /** `host:port` of the control server. */
  readonly controlAddress: string;
  readonly vms: readonly { readonly vm: VMId; readonly address: string }[];
  /** Switches a fault on; also reaches a VM that is down. Returns whether the VM exists. */
  applyFault(vm: VMId, fault: VMFault): Promise<boolean>;
  /** What ran, over all VMs. */
  journal(): JournalDocument;
  close(): Promise<void>;
}
