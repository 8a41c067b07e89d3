// The schema of deploy/membership.json. The pooler checks the same by itself; this is for editors, and for checks before a
// file is rolled out: go run ./cmd/threadsail-lab schema deploy/membership.json
#File: {
	// Without it, or with false, all other keys have no effect.
	enabled?: bool

	// Where each frontend gets its servers from; with both keys empty, from where it gets them without this file.
	postgres?: #Source
	mysql?:    #Source

	// How the MySQL servers in the PostgreSQL frontend's file are reached; echo: by table, columns stored just as written.
	mysql_servers?: {
		user?:      string
		password?:  string
		database?:  string
		heartbeat?: string
		echo?: [string]: [...string]
	}

	// The directory where valid generations are kept; empty: none.
	state?: string

	// required: unsealed files are rejected.
	seal?: "" | "optional" | "required"

	settle_ms?:         >=0 & <=1e9 // how long an unsealed change must have stayed unchanged
	settle_removal_ms?: >=0 & <=1e9 // the same, if it removes a server
	hold_ms?:           >=0 & <=1e9 // how long a change that removes many servers is held; 0: until it is confirmed
	hold_share?:        >=0 & <=1   // of a cluster's ready servers: a change that removes more than this removes many
	keep?:              int & >=1 & <=1000
	poll_ms?:           >=10 & <=1e9
}

#Source: {file?: string, discovery?: ""} | {file?: "", discovery?: =~"^.*:[0-9]{1,5}$"}
