/**
 * State of a member VM with respect to its replica. `holding`: its fresh report names the
 * replica. `silent`: its report is stale. `lost`: its report has been stale beyond the limit.
 * `gone`: the platform no longer lists it, or it is allocated to another replica. `empty`: it
 * reports no replica. `astray`: it reports another replica.
 */
type MemberCondition = 'holding' | 'silent' | 'lost' | 'gone' | 'empty' | 'astray';

export default MemberCondition;
