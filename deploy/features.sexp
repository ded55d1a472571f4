; Optional features, which are off by default. Use: run.py serve --config FILE --tuning deploy/features.sexp
((recovery t)
 (installation "main")
 (archive-address "127.0.0.1:8090")
 (archive-away "go-on")
 (archive-patience-s 20))
