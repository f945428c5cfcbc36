/**
 * How a VM stands to the replica that it is a member of. `holding`: its fresh report
 * names the replica. `silent`: its report is not fresh. `lost`: it has been silent for
 * too long. `gone`: it left the platform's list or is allocated elsewhere. `empty`:
 * it reports no replica. `astray`: it reports another replica.
 */
type MemberCondition = 'holding' | 'silent' | 'lost' | 'gone' | 'empty' | 'astray';

export default MemberCondition;
