# Writes small configurations: configuration VERSION BASE [ROUTE...], where a
# ROUTE is NAME,PREFIX,TYPE,SERVICE[,TIMEOUT_MS]. Sourced after common.sh.

configuration() {
  local version=$1 base_version=$2 route name prefix type service timeout
  local comma=""
  shift 2
  printf '{"version":%s,"baseVersion":%s,' "$version" "$base_version"
  printf '"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,'
  printf '"headerTimeout":3000,"idleTimeout":15000},"tenants":[],'
  printf '"services":[{"name":"plans","healthPath":"/health",'
  printf '"maxConnections":562,"protocol":"h1","tls":false}],"routes":['
  for route in "$@"; do
    IFS=, read -r name prefix type service timeout <<< "$route"
    printf '%s{"name":"%s","host":"plans.example","pathPrefix":"%s",' \
      "$comma" "$name" "$prefix"
    printf '"routeType":"%s","timeout":%s,"targetLatency":1500,' \
      "$type" "${timeout:-6000}"
    printf '"priority":0,"service":"%s","maxAttempts":2,"public":true}' \
      "$service"
    comma=,
  done
  printf ']}'
}
